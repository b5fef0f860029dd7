/**
 * Judges what callers and stand-ins recorded, without code of the product.
 */
package org.mangorack.bench.check;
