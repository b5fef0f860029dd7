package org.mangorack.operator;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Help text of a command, printed in addition to its arguments and options.
 */
@Target(ElementType.TYPE)
@Retention(RetentionPolicy.RUNTIME)
public @interface CommandHelp {

	/**
	 * Description of the command. The first sentence is shown in the list of commands.
	 * @return the description
	 */
	String value();

	/**
	 * Example invocations of the command.
	 * @return the command lines
	 */
	String[] examples();

}
