package org.mangorack.keeper;

import java.time.Duration;

/**
 * An attempt of a turn whose tokens are charged to the budget of its program.
 *
 * @param program the program, unique over all workspaces
 * @param attempt the attempt, unique within the program
 * @param retention how long the charges of the program are needed after the latest one:
 * until the attempt has ended and its turn can no longer be continued
 */
public record ProgramAttempt(String program, String attempt, Duration retention) {
}
