/**
 * Injection of network faults between processes.
 */
package org.mangorack.bench.fault;
