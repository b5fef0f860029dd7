/**
 * Blocking HTTP/1.1 server and client built on HttpCore.
 */
package org.mangorack.http;
