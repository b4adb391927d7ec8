/**
 * HTTP clients that take only well-formed answers of limited size, for the object API and
 * for engines.
 */
package org.ragworthook.objectapi.http;
