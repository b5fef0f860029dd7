/**
 * Stores turns and budget charges, replicated on the disks of a group of instances.
 */
package org.mangorack.keeper;
