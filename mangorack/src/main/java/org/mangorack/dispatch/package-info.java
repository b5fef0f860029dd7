/**
 * Selection of the upstream that runs a call.
 */
package org.mangorack.dispatch;
