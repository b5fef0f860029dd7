#!/bin/sh
# Runs the jar that follows this header; MANGORACK_JAVA_OPTS replaces the default JVM options.
exec "${JAVA_HOME:+$JAVA_HOME/bin/}java" ${MANGORACK_JAVA_OPTS:--Xms32m -Xmx160m -XX:+UseSerialGC -XX:-UsePerfData -XX:MaxDirectMemorySize=64m -Xss512k} -jar "$0" "$@"
exit 1
