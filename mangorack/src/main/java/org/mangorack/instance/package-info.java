/**
 * Assembly and life-cycle of an instance.
 */
package org.mangorack.instance;
