/**
 * Load in the shape of a deployment: its description and the programs drawn from it.
 */
package org.mangorack.bench.emulator.load;
