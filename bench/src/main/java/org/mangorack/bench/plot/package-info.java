/**
 * Charts of measurements.
 */
package org.mangorack.bench.plot;
