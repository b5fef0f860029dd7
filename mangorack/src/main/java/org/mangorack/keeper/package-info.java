/**
 * Keeps turns and the charges of budgets on the disks of a group of instances.
 */
package org.mangorack.keeper;
