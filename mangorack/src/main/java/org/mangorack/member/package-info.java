/**
 * Membership of instances in the fleet, and the links between them.
 */
package org.mangorack.member;
