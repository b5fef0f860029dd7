/**
 * Blocking HTTP/1.1 server and client built on HttpCore, request validation, and a
 * non-blocking status server built on Netty.
 */
package org.mangorack.http;
