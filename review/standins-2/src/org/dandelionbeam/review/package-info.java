/** Stand-ins of the platform, of engines and of callers, and the cases of the second review. */
package org.dandelionbeam.review;
