/**
 * HTTP clients that take only well-formed answers, for the object API and for engines.
 */
package org.ragworthook.objectapi.http;
