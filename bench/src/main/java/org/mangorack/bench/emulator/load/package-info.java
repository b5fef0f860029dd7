/**
 * The description of a deployment and its load, and the generation of programs from it.
 */
package org.mangorack.bench.emulator.load;
