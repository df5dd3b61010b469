/**
 * How a stream that broke off goes on, at any router: only at an upstream of the software version
 * that began it. Records in the store tell which version that was.
 */
package org.dandelionbeam.resumption;
