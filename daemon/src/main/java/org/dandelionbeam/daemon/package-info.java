/** The command line program: its commands, their arguments and the entry point. */
package org.dandelionbeam.daemon;
