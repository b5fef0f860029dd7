package org.mangorack.operator;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * What the help of a command says beside its arguments and options.
 */
@Target(ElementType.TYPE)
@Retention(RetentionPolicy.RUNTIME)
public @interface CommandHelp {

	/**
	 * What the command does. Its first sentence is shown in the list of commands.
	 * @return sentences
	 */
	String value();

	/**
	 * Calls of the command.
	 * @return command lines
	 */
	String[] examples();

}
