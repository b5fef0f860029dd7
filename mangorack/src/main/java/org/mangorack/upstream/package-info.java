/**
 * Calls of model engines and plain services.
 */
package org.mangorack.upstream;
