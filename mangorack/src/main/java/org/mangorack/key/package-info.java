/**
 * Keys of callers: creation, verification and withdrawal.
 */
package org.mangorack.key;
