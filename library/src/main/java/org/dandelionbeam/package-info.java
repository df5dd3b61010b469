/** Library of the request router fleet; each subpackage holds one component. */
package org.dandelionbeam;
