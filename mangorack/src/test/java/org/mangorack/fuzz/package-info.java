/**
 * Damaged inputs for the tests of decoders.
 */
package org.mangorack.fuzz;
