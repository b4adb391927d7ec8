/**
 * The demonstration: a whole deployment on one machine, online and batch load, faults,
 * and a table of what held. The script that calls it starts and stops the processes.
 */
package org.ragworthook.standin.demo;
