/**
 * Faults between processes.
 */
package org.mangorack.bench.fault;
