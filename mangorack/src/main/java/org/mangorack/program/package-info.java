/**
 * Programs, their turns, budgets and histories.
 */
package org.mangorack.program;
