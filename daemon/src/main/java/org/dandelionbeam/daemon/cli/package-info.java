/** Commands of operators, which call a router over HTTP or work on files. */
package org.dandelionbeam.daemon.cli;
