/**
 * The HTTP interface towards callers.
 */
package org.mangorack.entry;
