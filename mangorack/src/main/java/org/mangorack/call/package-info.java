/**
 * Value types that describe a call, its answer and its refusal.
 */
package org.mangorack.call;
