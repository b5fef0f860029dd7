/**
 * HTTP calls to model engines and plain services.
 */
package org.mangorack.upstream;
