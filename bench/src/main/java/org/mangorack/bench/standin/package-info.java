/**
 * Small stand-ins of the systems around the product.
 */
package org.mangorack.bench.standin;
