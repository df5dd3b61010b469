/** Ids, verdicts, error codes and the clock, which all other packages share. */
package org.dandelionbeam.base;
