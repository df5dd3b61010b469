package org.dandelionbeam.daemon.session;

import java.util.List;

/**
 * Result of running a cell.
 *
 * @param cell the cell
 * @param outcome code and verdict that the caller got, or another short form
 * @param violations descriptions of the checks that failed
 */
record CellResult(Cell cell, String outcome, List<String> violations) {}
