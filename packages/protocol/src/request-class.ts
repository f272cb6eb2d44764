/** The importance of a request, from the accepted intent. */
import {z} from 'zod';

/** The classes, most important first. */
export const requestClasses = ['essential', 'normal', 'deferrable'] as const;

export const requestClassSchema = z.enum(requestClasses);

/** `essential` covers payments, bookings and uploads, which are refused last. */
export type RequestClass = z.infer<typeof requestClassSchema>;

/** Returns the rank of a class; 0 is the most important. */
export function rankOf(requestClass: RequestClass): number {
	return requestClasses.indexOf(requestClass);
}
