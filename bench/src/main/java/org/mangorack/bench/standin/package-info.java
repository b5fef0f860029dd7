/**
 * Simulations of the external systems with which an instance communicates, with fault
 * injection.
 */
package org.mangorack.bench.standin;
