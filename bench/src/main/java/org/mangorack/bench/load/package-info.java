/**
 * Clients that put load on instances.
 */
package org.mangorack.bench.load;
