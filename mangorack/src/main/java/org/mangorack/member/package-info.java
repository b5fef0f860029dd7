/**
 * Links between instances and the list of instances.
 */
package org.mangorack.member;
