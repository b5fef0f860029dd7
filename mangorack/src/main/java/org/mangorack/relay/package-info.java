/**
 * Takes the requests of callers at an entry, decides on them and passes them to
 * upstreams.
 */
package org.mangorack.relay;
