/**
 * Value types for calls, responses and refusals.
 */
package org.mangorack.call;
