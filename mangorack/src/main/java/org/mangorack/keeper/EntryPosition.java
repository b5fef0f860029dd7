package org.mangorack.keeper;

/**
 * Where an entry of the log is on the disk.
 *
 * @param segment the number of the segment
 * @param offset the offset of the entry in the file of the segment, in bytes
 * @param bytes the size of the entry with its header
 */
record EntryPosition(long segment, long offset, int bytes) {
}
