/**
 * Scheduling of calls and selection of the upstream that runs them.
 */
package org.mangorack.dispatch;
