/**
 * The commands of the command line.
 */
package org.mangorack.operator.impl;
