/**
 * Reads configuration files, encodes the stored form and runs the configuration's state machine on
 * its thread.
 */
package org.dandelionbeam.config.wiring;
