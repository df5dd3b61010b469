/** API for operators of a router. */
package org.dandelionbeam.admin;
