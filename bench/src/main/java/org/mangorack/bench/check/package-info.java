/**
 * Consistency checks of recorded requests and executions, independent of the code under
 * test.
 */
package org.mangorack.bench.check;
