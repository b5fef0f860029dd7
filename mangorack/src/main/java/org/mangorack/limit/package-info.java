/**
 * Rate limits of workspaces.
 */
package org.mangorack.limit;
