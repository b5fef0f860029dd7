/**
 * Metrics, numbered log events, clocks and invariants.
 */
package org.mangorack.observe;
