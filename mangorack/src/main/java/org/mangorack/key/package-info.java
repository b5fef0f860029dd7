/**
 * Creation, verification and withdrawal of the API keys of callers.
 */
package org.mangorack.key;
