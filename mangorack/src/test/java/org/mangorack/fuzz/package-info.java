/**
 * Mutated inputs for fuzz tests of decoders.
 */
package org.mangorack.fuzz;
