# Admission under overload, switched on; see docs/admission.md. Any name of the
# policy may be set here too.
admission = True
