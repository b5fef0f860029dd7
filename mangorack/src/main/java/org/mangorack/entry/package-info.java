/**
 * The HTTP API for callers.
 */
package org.mangorack.entry;
