/** Event threads of components, fed through bounded queues. */
package org.dandelionbeam.runtime;
