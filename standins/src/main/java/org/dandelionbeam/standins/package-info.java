/**
 * In-process test doubles of the platform, the model engines and a plain HTTP service, with fault
 * injection.
 */
package org.dandelionbeam.standins;
