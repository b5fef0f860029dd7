/**
 * The benchmark tool: simulated external systems, a fault proxy and load generators. It
 * is not part of a release.
 */
package org.mangorack.bench;
