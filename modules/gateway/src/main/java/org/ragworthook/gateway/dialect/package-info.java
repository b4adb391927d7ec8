/**
 * The names of headers and the formats of requests, which differ between platforms. An
 * adapter provides them; they contain no decisions of their own.
 */
package org.ragworthook.gateway.dialect;
