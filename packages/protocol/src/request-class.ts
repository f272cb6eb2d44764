/** How much a request matters, from the accepted intent. */
import {z} from 'zod';

/** The classes, the most important first. */
export const requestClasses = ['essential', 'normal', 'deferrable'] as const;

export const requestClassSchema = z.enum(requestClasses);

/** `essential` covers payments, bookings and uploads: the last to be refused. */
export type RequestClass = z.infer<typeof requestClassSchema>;

/** 0 for the most important class. */
export function rankOf(requestClass: RequestClass): number {
	return requestClasses.indexOf(requestClass);
}
