/**
 * Leases and the ownership of shards. Every program, idempotency key and workspace
 * belongs to a shard. Each shard has at most one owner at a time, which is recorded on
 * the platform together with an epoch.
 */
package org.mangorack.ownership;
