/**
 * Entry instances: accept requests from callers, apply admission and routing, and relay
 * them to upstreams.
 */
package org.mangorack.relay;
