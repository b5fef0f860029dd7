/**
 * Leases, shards and their owners. Every program, idempotency key and workspace belongs
 * to a shard, and each shard has one owner at a time, recorded with an epoch in the
 * platform.
 */
package org.mangorack.ownership;
