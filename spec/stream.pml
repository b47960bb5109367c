/* One streamed answer (docs/design/streams.md).

   A side runs generations of one request; each token is (generation,
   offset).  Frames are lost, repeated and late; the caller's connection
   breaks and resumes by position; the engine dies.  Checked for what the
   caller sees:
     IN_ORDER   offsets follow each other, all from one generation
     COMPLETE   "complete" is told only after every token
   BROKEN_* macros each remove one rule; the checker must then object.  */

#define LENGTH 3
#define GENERATIONS 2
#define NONE 255

/* Frames to the entry: generation, offset; the offset LENGTH is the end.  */
chan link = [3] of { byte, byte };
/* Attach: generation, offset from which the side sends.  */
chan attach = [1] of { byte, byte };

byte generation = 0;       /* that the engine runs */
byte produced = 0;         /* tokens of it in the side's buffer */
bool lost[GENERATIONS];    /* its engine died; the side says so */

byte caller_generation = NONE;
byte caller_next = 0;
bool wrong = false;
bool complete = false;
bool interrupted = false;
bool retry_asked = false;

/* side/streams.c: produces, sends what it holds, replays from an offset.  */
proctype side ()
{
  byte send_next = 0;
  byte g;
  byte from;

end:
  do
  :: produced < LENGTH && !lost[generation] -> produced++
  :: send_next < produced && nfull (link) ->
       if
       :: link ! generation, send_next
       :: link ! generation, send_next; nfull (link) ->
            link ! generation, send_next          /* delivered twice */
       :: skip                                    /* lost on the link */
       fi;
       send_next++
  :: send_next == LENGTH && nfull (link) ->
       link ! generation, LENGTH;
       send_next++
  :: attach ? g, from ->
       if
       :: g == generation -> send_next = from
       :: else -> skip                            /* rejected: not found */
       fi
  /* The engine dies in the midst of the generation.  */
  :: !lost[generation] && produced < LENGTH && generation == 0 ->
       lost[generation] = true
  /* A new generation, asked for by the entry's retry.  */
  :: generation == 0 && lost[0] && retry_asked ->
       atomic { generation = 1; produced = 0; send_next = 0 }
  od
}

inline deliver (g, o)
{
  wrong = (wrong || o != caller_next ||
           (caller_generation != NONE && caller_generation != g));
  caller_generation = g;
  caller_next = o + 1
}

/* entry/streams.c: accepts the next offset of the current attempt only.  */
proctype entry ()
{
  byte current = 0;
  byte g;
  byte o;

end:
  do
  :: !complete && !interrupted ->
       if
       :: link ?? g, o ->                         /* frames overtake */
            if
#ifndef BROKEN_ATTEMPT
            :: g != current -> skip               /* of an abandoned attempt */
#endif
            :: else ->
                 if
                 :: o == LENGTH ->
#ifndef BROKEN_TOTAL
                      if
                      :: caller_next == LENGTH -> complete = true
                      :: else -> attach ! current, caller_next
                      fi
#else
                      complete = true
#endif
                 :: o < LENGTH ->
#ifndef BROKEN_OFFSET
                      if
                      :: o == caller_next -> deliver (g, o)
                      :: else -> skip
                      fi
#else
                      deliver (g, o)
#endif
                 fi
            fi
       /* The caller reconnects, perhaps at another entry: by position.  */
       :: nfull (attach) && caller_generation != NONE ->
            attach ! caller_generation, caller_next
       /* A gap was noticed while nothing was delivered yet.  */
       :: nfull (attach) && caller_generation == NONE ->
            attach ! current, 0
       :: lost[current] ->
#ifndef BROKEN_RETRY
            if
            :: caller_next == 0 && current == 0 ->
                 current = 1; retry_asked = true
            :: else -> interrupted = true
            fi
#else
            if
            :: current == 0 -> current = 1; retry_asked = true
            :: else -> interrupted = true
            fi
#endif
       fi
  :: complete || interrupted -> break
  od
}

init
{
  atomic { run side (); run entry () }
}

ltl in_order { [] !wrong }
ltl complete_is_whole { [] (complete -> caller_next == LENGTH) }
